/** Follows tables of the platform's store: reads a table in full, polls for changes and resumes after failures. */
package org.boragebarrow.node.watch;
