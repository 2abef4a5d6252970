/** Long randomised runs over a whole deployment, with faults on every interface and the promises asserted throughout. */
package org.boragebarrow.trials.soak;
