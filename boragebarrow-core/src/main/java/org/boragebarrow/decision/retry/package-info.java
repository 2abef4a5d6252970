/** Decides whether and when failed requests are retried, and keeps token streams exact across attempts. */
package org.boragebarrow.decision.retry;
