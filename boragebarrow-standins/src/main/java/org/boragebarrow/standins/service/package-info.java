/** A stand-in of a plain service that counts its runs, so that a run too many or too few can be told. */
package org.boragebarrow.standins.service;
