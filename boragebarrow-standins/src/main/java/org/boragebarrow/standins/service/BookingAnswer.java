package org.boragebarrow.standins.service;

/** Confirms a booking under its number. */
public record BookingAnswer(int number, String slot, String order) {}
