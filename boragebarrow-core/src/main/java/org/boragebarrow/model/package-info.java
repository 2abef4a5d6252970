/** Ids and immutable values that every other package speaks in. */
package org.boragebarrow.model;
