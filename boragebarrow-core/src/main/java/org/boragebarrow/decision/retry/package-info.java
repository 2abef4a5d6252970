/** Decides whether and when failed work is tried again, and keeps token streams exact across attempts. */
package org.boragebarrow.decision.retry;
