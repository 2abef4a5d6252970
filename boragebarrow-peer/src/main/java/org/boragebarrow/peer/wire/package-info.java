/** Translates between the messages on the links and the values of the decision logic. */
package org.boragebarrow.peer.wire;
