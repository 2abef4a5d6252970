/** Converts between the protobuf messages sent over links and the values of the decision logic. */
package org.boragebarrow.peer.wire;
