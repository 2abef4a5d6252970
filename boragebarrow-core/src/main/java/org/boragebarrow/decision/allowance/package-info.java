/** Limits each organisation to the rate and concurrency of its plan across all availability zones. */
package org.boragebarrow.decision.allowance;
