/**
 * Packet capture files (pcap): writes served traffic to a file, and replays the requests in a file.
 *
 * <p>Reading passes from {@code CaptureReader} (packets of a file) through {@code TcpSegmentParser}, {@code
 * TcpFlowReassembler} and {@code HttpRequestExtractor} to {@link nettlewick.pcap.Capture} (requests of a file), which
 * {@link nettlewick.pcap.CaptureReplayer} submits. Writing passes from {@link nettlewick.pcap.CaptureWriter} (HTTP
 * traffic) through {@code RecordedConnection} and {@code TcpPacketBuilder} to {@code CaptureFileWriter}. The package
 * depends on {@code nettlewick.net} and {@code nettlewick.core}. A capture is read on one thread before it is replayed;
 * the replayer and the writer run on the event loop.
 */
package nettlewick.pcap;
