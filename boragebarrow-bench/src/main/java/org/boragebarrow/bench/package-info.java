/** Benchmarks and simulations of the decision logic; not part of the distribution. */
package org.boragebarrow.bench;
