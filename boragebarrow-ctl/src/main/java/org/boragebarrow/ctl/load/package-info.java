/** Open-loop load from scenarios, with checked answers and statistics by length class and organisation. */
package org.boragebarrow.ctl.load;
