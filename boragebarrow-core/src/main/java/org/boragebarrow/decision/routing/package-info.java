/**
 * Which service a request goes to: full, numbered versions of routes, services, keys and limits, of which a host only
 * ever moves to a newer one.
 *
 * <p>Load pattern: configurations in quick succession, with stale or repeated reads between them.
 */
package org.boragebarrow.decision.routing;
