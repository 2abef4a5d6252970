/**
 * Which hosts follow the platform's store for others, and what these are told.
 *
 * <p>Load patterns: many hosts beside a store whose calls are limited and priced; targets released and flapping, so that
 * each change would cost a call from every host; a store that turns some hosts away and serves the others.
 */
package org.boragebarrow.decision.watch;
