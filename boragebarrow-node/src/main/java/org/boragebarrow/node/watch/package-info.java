/** Follows tables of the platform's store: one full reading, then the changes, however often the store fails. */
package org.boragebarrow.node.watch;
