/**
 * Decides which hosts watch the platform's store for the others and which changes they send.
 *
 * <p>Load patterns: many hosts that share a store whose calls are limited and priced; targets released and flapping, so
 * that each change would cost a call from every host; a store that refuses some hosts and serves the others.
 */
package org.boragebarrow.decision.watch;
