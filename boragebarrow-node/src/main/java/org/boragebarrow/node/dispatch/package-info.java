/** Runs this host's dispatcher and requests grants from the zone's dispatcher, on this host or on another. */
package org.boragebarrow.node.dispatch;
