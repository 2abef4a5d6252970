/** Starts stand-ins of the outside systems in one process, as an INI file lists them; for trials and tests only. */
package org.boragebarrow.standins;
