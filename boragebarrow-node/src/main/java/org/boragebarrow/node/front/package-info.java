/**
 * Serves callers' requests. Each request is confined to the event loop of its caller's connection, which owns its
 * deadline, its grant, the target's stream and the response.
 */
package org.boragebarrow.node.front;
