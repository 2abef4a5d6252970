/** The operators' command line. */
package org.boragebarrow.ctl;
