package org.boragebarrow.standins.service;

/** The confirmation of a booking, with its number. */
public record BookingAnswer(int number, String slot, String order) {}
