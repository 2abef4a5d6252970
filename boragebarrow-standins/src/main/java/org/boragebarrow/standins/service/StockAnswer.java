package org.boragebarrow.standins.service;

/** The number of pieces of an item that are in stock. */
public record StockAnswer(String item, int pieces) {}
