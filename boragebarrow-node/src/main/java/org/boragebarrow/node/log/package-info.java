/** Numbered log events; docs/EVENTS.md is their catalogue. */
package org.boragebarrow.node.log;
