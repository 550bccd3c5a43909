/** Duties that one dispatcher holds at a time: a register with a lease at a few voters (docs/duties.md). */
package nettlewick.lease;
