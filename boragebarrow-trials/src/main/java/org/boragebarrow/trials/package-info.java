/** Deployments in one process, for end-to-end tests, soak tests and measurements; not part of the distribution. */
package org.boragebarrow.trials;
