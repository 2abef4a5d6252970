/**
 * Which regions' targets a request may reach.
 *
 * <p>Load pattern: the targets at home are full, emptied or gone while those elsewhere have room.
 */
package org.boragebarrow.decision.home;
