/** Calls of the table service as values, so that decision machines stay without input and output. */
package org.boragebarrow.decision.table;
