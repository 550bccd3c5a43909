/**
 * Packet capture files: served traffic is written as one, and the requests in one are replayed.
 *
 * <p>Reading goes from {@code CaptureReader} (packets of a file) by {@code TcpSegmentParser},
 * {@code TcpFlowReassembler} and {@code HttpRequestExtractor} to {@link nettlewick.pcap.Capture} (its requests), which
 * {@link nettlewick.pcap.CaptureReplayer} submits. Writing goes from {@link nettlewick.pcap.CaptureWriter} (HTTP
 * traffic) by {@code RecordedConnection} and {@code TcpPacketBuilder} to {@code CaptureFileWriter}. The package builds
 * on {@code nettlewick.net} and {@code nettlewick.core}. A capture is read on one thread before its replay; the
 * replayer and the writer run on the event loop.
 */
package nettlewick.pcap;
