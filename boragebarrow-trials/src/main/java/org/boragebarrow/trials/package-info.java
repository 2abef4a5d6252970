/** Whole deployments in one process, for end-to-end tests, long randomised runs and measurements; never shipped. */
package org.boragebarrow.trials;
