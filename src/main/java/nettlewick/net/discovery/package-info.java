/**
 * Watches the discovery service for endpoint updates and resumes a broken watch. Depends on {@code format} alone,
 * beside {@code core} and {@code decision}. Runs on the event loop.
 */
package nettlewick.net.discovery;
