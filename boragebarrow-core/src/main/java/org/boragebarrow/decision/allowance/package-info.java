/** Keeps each organisation within its plan's rate and concurrency over all availability zones. */
package org.boragebarrow.decision.allowance;
