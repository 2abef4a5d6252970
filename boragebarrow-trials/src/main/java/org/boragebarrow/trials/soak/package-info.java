/** Soak tests: randomised load and faults on every interface of a deployment, with checks of its invariants. */
package org.boragebarrow.trials.soak;
