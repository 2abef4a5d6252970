/** The settings file: its keys, and the validated values. */
package org.boragebarrow.node.settings;
