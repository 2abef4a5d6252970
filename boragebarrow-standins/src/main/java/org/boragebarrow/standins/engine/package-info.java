/** An emulated model engine: a simulation of batching, memory and caching without I/O, and an HTTP server for it. */
package org.boragebarrow.standins.engine;
