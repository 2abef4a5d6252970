/**
 * Where a request lives and ends: each is confined to the event loop of its caller's connection, which owns the
 * deadline, the grant, the target's stream and the answer.
 */
package org.boragebarrow.node.front;
