/** Represents calls of the table service as values, so that decision machines perform no input or output. */
package org.boragebarrow.decision.table;
