/** Numbered log events, which docs/EVENTS.md lists. */
package org.boragebarrow.node.log;
