//! A small reader of JSON, for the calls of a VM to the store.

use std::{collections::BTreeMap, iter::Peekable, str::Chars};

#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Object(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    value(&mut text.chars().peekable())
}

fn skip(chars: &mut Peekable<Chars>) {
    while chars.next_if(|c| c.is_whitespace()).is_some() {}
}

fn value(chars: &mut Peekable<Chars>) -> Option<Value> {
    skip(chars);
    match *chars.peek()? {
        '{' => object(chars),
        '[' => list(chars),
        '"' => Some(Value::Text(string(chars)?)),
        _ => {
            let mut word = String::new();
            let part = |c: &char| c.is_alphanumeric() || "+-.".contains(*c);
            while let Some(c) = chars.next_if(part) {
                word.push(c);
            }
            match word.as_str() {
                "null" => Some(Value::Null),
                "true" | "false" => Some(Value::Bool),
                word => word.parse().ok().map(Value::Number),
            }
        }
    }
}

fn object(chars: &mut Peekable<Chars>) -> Option<Value> {
    chars.next();
    let mut fields = BTreeMap::new();
    loop {
        skip(chars);
        match chars.peek()? {
            '}' => {
                chars.next();
                return Some(Value::Object(fields));
            }
            ',' => {
                chars.next();
            }
            _ => {
                let name = string(chars)?;
                skip(chars);
                if chars.next()? != ':' {
                    return None;
                }
                fields.insert(name, value(chars)?);
            }
        }
    }
}

fn list(chars: &mut Peekable<Chars>) -> Option<Value> {
    chars.next();
    let mut items = Vec::new();
    loop {
        skip(chars);
        match chars.peek()? {
            ']' => {
                chars.next();
                return Some(Value::List(items));
            }
            ',' => {
                chars.next();
            }
            _ => items.push(value(chars)?),
        }
    }
}

fn string(chars: &mut Peekable<Chars>) -> Option<String> {
    if chars.next()? != '"' {
        return None;
    }
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => match chars.next()? {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'r' => text.push('\r'),
                'u' => {
                    let hex: String = chars.by_ref().take(4).collect();
                    let code = u32::from_str_radix(&hex, 16).ok()?;
                    text.push(char::from_u32(code)?);
                }
                c => text.push(c),
            },
            c => text.push(c),
        }
    }
}
