/**
 * Assembles a dispatcher: starts, reloads and stops the parts in the packages below this one, and offers its operations
 * to the admin frontend. Depends on all subpackages, on {@code core} and on {@code admin}; nothing in the subpackages
 * depends on it. Runs on one Vert.x event loop; the coordinator has a thread of its own.
 */
package nettlewick.net;
