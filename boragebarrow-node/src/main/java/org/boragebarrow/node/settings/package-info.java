/** The settings file: what each key means, and the checked values. */
package org.boragebarrow.node.settings;
