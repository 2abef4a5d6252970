/**
 * Which zones operators have emptied: their targets get no new work until the zone is taken back.
 *
 * <p>Load pattern: the capacity of one or more whole zones disappears at once while their callers keep coming, and returns at
 * once later, while hosts learn of it at different times.
 */
package org.boragebarrow.decision.evacuation;
