/** The host process: wires all duties together. */
package org.boragebarrow.node;
