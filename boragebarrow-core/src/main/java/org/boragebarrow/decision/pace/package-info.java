/**
 * What targets show of their speed, relative to what is usual for their service.
 *
 * <p>Load patterns: a target that works at a fifth of its pace for minutes and is well afterwards; targets that are slow
 * for seconds after they start; all targets of a service that become slow at once, which says nothing about any of
 * them; single answers that take long at a sound target.
 */
package org.boragebarrow.decision.pace;
