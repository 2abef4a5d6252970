/** Ids and immutable value types that all other packages use. */
package org.boragebarrow.model;
