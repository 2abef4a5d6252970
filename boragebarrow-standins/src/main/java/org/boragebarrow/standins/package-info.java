/** Runs stand-ins of external systems in one process, as configured by an INI file; for trials and tests only. */
package org.boragebarrow.standins;
