import pathlib
import re


def test_the_readme_example_runs() -> None:
    text = (pathlib.Path(__file__).parent.parent / "README.md").read_text()
    [example] = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(example, "README.md", "exec"), {})
