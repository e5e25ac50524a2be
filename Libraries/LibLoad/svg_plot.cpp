#include "LibLoad/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace spindle {

static constexpr double Width = 860;
static constexpr double Height = 420;
static constexpr double Left = 70;
static constexpr double Right = 190;
static constexpr double Top = 40;
static constexpr double Bottom = 50;
static constexpr int GridLines = 5;

static std::string number(double Value) {
  std::string Text = std::to_string(std::llround(Value * 10));
  if (Text.size() < 2)
    Text.insert(0, "0");
  Text.insert(Text.size() - 1, ".");
  return Text;
}

static std::string escape(std::string_view Text) {
  std::string Escaped;
  for (const char Character : Text) {
    if (Character == '<')
      Escaped += "&lt;";
    else if (Character == '&')
      Escaped += "&amp;";
    else
      Escaped += Character;
  }
  return Escaped;
}

static std::string text(double X, double Y, std::string_view Anchor,
                        std::string_view Content) {
  return "<text x=\"" + number(X) + "\" y=\"" + number(Y) +
         "\" text-anchor=\"" + std::string(Anchor) + "\">" + escape(Content) +
         "</text>\n";
}

/// The least value of the form 1, 2 or 5 times a power of ten that is not
/// less than \p Value.
static double roundUp(double Value) {
  if (Value <= 0)
    return 1;
  const double Power = std::pow(10, std::floor(std::log10(Value)));
  for (const double Step : {1.0, 2.0, 5.0})
    if (Value <= Step * Power)
      return Step * Power;
  return 10 * Power;
}

namespace {

/// Turns values into places on the image.
struct plot_scale {
  std::size_t Steps = 1;
  double Greatest = 1;

  double x(double Step) const {
    return Left + Step / static_cast<double>(Steps) * (Width - Left - Right);
  }
  double y(double Value) const {
    return Height - Bottom - Value / Greatest * (Height - Top - Bottom);
  }
};

} // namespace

static std::string drawAxes(const plot_text &Text, const plot_scale &Scale) {
  std::string Image;
  for (int Line = 0; Line <= GridLines; ++Line) {
    const double Value = Scale.Greatest * Line / GridLines;
    const std::string Y = number(Scale.y(Value));
    Image += "<line x1=\"" + number(Left) + "\" x2=\"" + number(Width - Right);
    Image += "\" y1=\"" + Y + "\" y2=\"";
    Image += Y + "\" stroke=\"#dddddd\"/>\n";
    Image += text(Left - 6, Scale.y(Value) + 4, "end", number(Value));
    const double Step = static_cast<double>(Scale.Steps) * Line / GridLines;
    Image += text(Scale.x(Step), Height - Bottom + 18, "middle", number(Step));
  }
  Image += text(Width / 2, 20, "middle", Text.Title);
  Image +=
      text((Left + Width - Right) / 2, Height - 10, "middle", Text.Horizontal);
  Image += text(Left, Top - 8, "middle", Text.Vertical);
  return Image;
}

std::string drawPlot(const plot_text &Text, std::span<const plot_line> Lines) {
  static constexpr std::array<std::string_view, 8> Colours{
      "#1b6ca8", "#d1495b", "#3c8d40", "#c98a1b",
      "#7a4fa3", "#4a4a4a", "#2aa5a0", "#a85d1b"};
  plot_scale Scale;
  double Greatest = 0;
  for (const plot_line &Line : Lines) {
    Scale.Steps = std::max(Scale.Steps, Line.Values.size());
    for (const double Value : Line.Values)
      Greatest = std::max(Greatest, Value);
  }
  Scale.Greatest = roundUp(Greatest);
  std::string Image = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                      number(Width) + "\" height=\"" + number(Height) +
                      "\" font-family=\"sans-serif\" font-size=\"12\">\n" +
                      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  Image += drawAxes(Text, Scale);
  for (std::size_t Index = 0; Index < Lines.size(); ++Index) {
    const std::string Colour(Colours[Index % Colours.size()]);
    Image += "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" + Colour +
             "\" points=\"";
    const std::vector<double> &Values = Lines[Index].Values;
    for (std::size_t Step = 0; Step < Values.size(); ++Step)
      Image += number(Scale.x(static_cast<double>(Step) + 0.5)) + "," +
               number(Scale.y(Values[Step])) + " ";
    Image += "\"/>\n<g fill=\"" + Colour + "\">";
    Image += text(Width - Right + 10, Top + 18 * static_cast<double>(Index) + 4,
                  "start", Lines[Index].Name);
    Image += "</g>\n";
  }
  return Image + "</svg>\n";
}

} // namespace spindle
