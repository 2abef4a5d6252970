package org.boragebarrow.ctl.load;

import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;

import java.io.StringWriter;
import java.util.Locale;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;

/** Draws bar and line charts as SVG; the horizontal axis shows categories at equal distances. */
final class SvgPlot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int LEFT = 90;
    private static final int RIGHT = 20;
    private static final int TOP = 50;
    private static final int BOTTOM = 60;
    private static final int MAX_CATEGORY_LABELS = 12;
    private static final int LEGEND_WIDTH = 170;
    private static final double BAR_FRACTION = 0.8;
    private static final ImmutableList<String> COLOURS =
            ImmutableList.of("#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd", "#8c564b");

    private final StringWriter text = new StringWriter();
    private final XMLStreamWriter xml;
    private final ImmutableList<String> categories;
    private final ImmutableList<Series> series;
    private final ValueAxis axis;

    /** A data series, with one value for each category. */
    record Series(String name, ImmutableList<Double> values) {}

    /** The type of a chart. */
    enum ChartType {
        /** One bar for each value, grouped by category, on a logarithmic axis. */
        BARS,
        /** One line for each series, on an axis that starts at 0. */
        LINES
    }

    private SvgPlot(ChartType chartType, ImmutableList<String> categories, ImmutableList<Series> series)
            throws XMLStreamException {
        this.xml = XMLOutputFactory.newInstance().createXMLStreamWriter(text);
        this.categories = categories;
        this.series = series;
        double maximum = series.stream()
                .flatMap(each -> each.values().stream())
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
        this.axis = chartType == ChartType.BARS ? ValueAxis.logarithmic(maximum) : ValueAxis.linear(maximum);
    }

    /** Returns the plot as an SVG document. */
    static String draw(
            ChartType chartType,
            String title,
            String xLabel,
            String yLabel,
            ImmutableList<String> categories,
            ImmutableList<Series> series) {
        for (Series each : series) {
            checkArgument(
                    each.values().size() == categories.size(),
                    "series %s must have one value for each category",
                    each.name());
        }
        try {
            SvgPlot plot = new SvgPlot(chartType, categories, series);
            plot.drawAll(chartType, title, xLabel, yLabel);
            return plot.text.toString();
        } catch (XMLStreamException e) {
            throw new IllegalStateException("cannot write the plot to a string", e);
        }
    }

    private void drawAll(ChartType chartType, String title, String xLabel, String yLabel) throws XMLStreamException {
        xml.writeStartDocument();
        xml.writeStartElement("svg");
        xml.writeDefaultNamespace("http://www.w3.org/2000/svg");
        attributes("width", WIDTH, "height", HEIGHT, "font-family", "sans-serif", "font-size", 12);
        element("rect", "width", WIDTH, "height", HEIGHT, "fill", "white");
        label(WIDTH / 2.0, 20, "middle", title);
        label((LEFT + WIDTH - RIGHT) / 2.0, HEIGHT - 12, "middle", xLabel);
        label(8, TOP - 14, "start", yLabel);
        drawAxes();
        for (int i = 0; i < series.size(); i++) {
            drawLegend(i);
            if (chartType == ChartType.BARS) {
                drawBars(i);
            } else {
                drawLine(i);
            }
        }
        xml.writeEndElement();
        xml.writeEndDocument();
        xml.flush();
    }

    private void drawAxes() throws XMLStreamException {
        line(LEFT, TOP, LEFT, HEIGHT - BOTTOM, "black");
        line(LEFT, HEIGHT - BOTTOM, WIDTH - RIGHT, HEIGHT - BOTTOM, "black");
        for (double value : axis.ticks()) {
            line(LEFT, y(value), WIDTH - RIGHT, y(value), "#dddddd");
            label(LEFT - 6, y(value) + 4, "end", formatTick(value));
        }
        int step = Math.max(1, (categories.size() + MAX_CATEGORY_LABELS - 1) / MAX_CATEGORY_LABELS);
        for (int i = 0; i < categories.size(); i += step) {
            label(x(i + 0.5), HEIGHT - BOTTOM + 18, "middle", categories.get(i));
        }
    }

    private void drawLegend(int index) throws XMLStreamException {
        double x = LEFT + 10 + (double) index * LEGEND_WIDTH;
        element("rect", "x", formatCoordinate(x), "y", TOP - 20, "width", 10, "height", 10, "fill", colour(index));
        label(x + 15, TOP - 11, "start", series.get(index).name());
    }

    private void drawBars(int index) throws XMLStreamException {
        double width = BAR_FRACTION / series.size();
        ImmutableList<Double> values = series.get(index).values();
        for (int i = 0; i < values.size(); i++) {
            double left = x(i + (1 - BAR_FRACTION) / 2 + index * width);
            double y = y(values.get(i));
            element(
                    "rect",
                    "x",
                    formatCoordinate(left),
                    "y",
                    formatCoordinate(y),
                    "width",
                    formatCoordinate(x(width) - x(0)),
                    "height",
                    formatCoordinate(HEIGHT - BOTTOM - y),
                    "fill",
                    colour(index));
        }
    }

    private void drawLine(int index) throws XMLStreamException {
        StringBuilder points = new StringBuilder();
        ImmutableList<Double> values = series.get(index).values();
        for (int i = 0; i < values.size(); i++) {
            points.append(formatCoordinate(x(i + 0.5)))
                    .append(',')
                    .append(formatCoordinate(y(values.get(i))))
                    .append(' ');
        }
        element("polyline", "points", points.toString().trim(), "fill", "none", "stroke", colour(index));
    }

    private double x(double position) {
        return LEFT + position * (WIDTH - LEFT - RIGHT) / Math.max(1, categories.size());
    }

    private double y(double value) {
        return HEIGHT - BOTTOM - axis.position(value) * (HEIGHT - TOP - BOTTOM);
    }

    private static String colour(int index) {
        return COLOURS.get(index % COLOURS.size());
    }

    private static String formatCoordinate(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static String formatTick(double value) {
        return value == Math.rint(value) ? String.format(Locale.ROOT, "%.0f", value) : Double.toString(value);
    }

    private void line(double x1, double y1, double x2, double y2, String stroke) throws XMLStreamException {
        element(
                "line",
                "x1",
                formatCoordinate(x1),
                "y1",
                formatCoordinate(y1),
                "x2",
                formatCoordinate(x2),
                "y2",
                formatCoordinate(y2),
                "stroke",
                stroke);
    }

    private void label(double x, double y, String anchor, String content) throws XMLStreamException {
        xml.writeStartElement("text");
        attributes("x", formatCoordinate(x), "y", formatCoordinate(y), "text-anchor", anchor);
        xml.writeCharacters(content);
        xml.writeEndElement();
    }

    private void element(String name, Object... attributes) throws XMLStreamException {
        xml.writeEmptyElement(name);
        attributes(attributes);
    }

    private void attributes(Object... pairs) throws XMLStreamException {
        for (int i = 0; i < pairs.length; i += 2) {
            xml.writeAttribute(pairs[i].toString(), pairs[i + 1].toString());
        }
    }
}
