/** Benchmarks and simulated trials of the decision logic; never shipped. */
package org.boragebarrow.bench;
