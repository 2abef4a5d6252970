/** Runs stand-ins for external systems in one process, as configured by an INI file; for trials and tests only. */
package org.boragebarrow.standins;
