package org.boragebarrow.standins.service;

/** Tells how many pieces of an item are in stock. */
public record StockAnswer(String item, int pieces) {}
