/**
 * The set of targets, as read from a watched table.
 *
 * <p>Load pattern: targets that drain, crash, restart under their old id or whose address is reused by another service,
 * while the table is unavailable for some time and entries expire although their targets run.
 */
package org.boragebarrow.decision.fleet;
