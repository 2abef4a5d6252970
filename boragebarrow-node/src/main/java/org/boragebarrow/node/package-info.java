/** The host process: its commands, and the wiring of its duties. */
package org.boragebarrow.node;
