package org.boragebarrow.ctl.load;

import javax.xml.parsers.DocumentBuilderFactory;

import java.io.StringReader;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.w3c.dom.Document;
import org.xml.sax.InputSource;

import static com.google.common.truth.Truth.assertThat;

class SvgPlotTest {
    private static Document draw(SvgPlot.ChartType chartType) throws Exception {
        String svg = SvgPlot.draw(
                chartType,
                "a < b & c",
                "x",
                "y",
                ImmutableList.of("one", "two"),
                ImmutableList.of(
                        new SvgPlot.Series("s", ImmutableList.of(1.0, 2.0)),
                        new SvgPlot.Series("t", ImmutableList.of(0.0, 4.0))));
        return DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(new InputSource(new StringReader(svg)));
    }

    @Example
    void oneLineIsDrawnForEachSeries() throws Exception {
        assertThat(draw(SvgPlot.ChartType.LINES)
                        .getElementsByTagName("polyline")
                        .getLength())
                .isEqualTo(2);
    }

    @Example
    void oneBarIsDrawnForEachValueBesidesBackgroundAndLegend() throws Exception {
        assertThat(draw(SvgPlot.ChartType.BARS).getElementsByTagName("rect").getLength())
                .isEqualTo(1 + 2 + 4);
    }

    @Example
    void labelsAreEscaped() throws Exception {
        String title = draw(SvgPlot.ChartType.BARS)
                .getElementsByTagName("text")
                .item(0)
                .getTextContent();
        assertThat(title).isEqualTo("a < b & c");
    }
}
