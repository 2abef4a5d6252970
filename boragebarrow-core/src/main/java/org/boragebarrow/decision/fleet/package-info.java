/**
 * Which targets there are, as a watched table tells it.
 *
 * <p>Load pattern: targets that drain, crash, come back under their old id or whose address another service takes over,
 * while the table is away for some time and entries lapse without cause.
 */
package org.boragebarrow.decision.fleet;
